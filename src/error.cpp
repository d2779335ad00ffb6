/** @file error.cpp Texts of the numbered result codes. */
#include "error_type.h"

#include <algorithm>
#include <array>

namespace {

/** One row of the table of result codes. */
struct ResultRow {
	ResultCode code;    ///< The code.
	const char *symbol; ///< Its symbol.
	const char *text;   ///< Description.
	int http;           ///< HTTP status sent to callers, 0 for none.
};

constexpr std::array _rows = {
#define X(symbol, number, text, http) ResultRow{ResultCode::RC_##symbol, #symbol, text, http},
		GLADE_RESULT_TABLE(X)
#undef X
};

/**
 * Looks up the row of a result code.
 * @param code Number of the result code.
 * @return The row; for an unknown number the row of RC_MALFORMED, so that a code of a newer peer is still an error.
 */
const ResultRow &ResultRowOf(int code)
{
	const auto it = std::ranges::find(_rows, static_cast<ResultCode>(code), &ResultRow::code);
	if (it != _rows.end()) {
		return *it;
	}
	return *std::ranges::find(_rows, ResultCode::RC_MALFORMED, &ResultRow::code);
}

/** Error category used by make_error_code(). */
class GladeCategory : public std::error_category {
public:
	[[nodiscard]] const char *name() const noexcept override { return "glademount"; }
	[[nodiscard]] std::string message(int code) const override { return ResultRowOf(code).text; }
};

} // namespace

const std::error_category &ResultCategory()
{
	static const GladeCategory _category;
	return _category;
}

std::error_code make_error_code(ResultCode rc)
{
	return {static_cast<int>(rc), ResultCategory()};
}

int HttpStatusOf(ResultCode rc)
{
	return ResultRowOf(static_cast<int>(rc)).http;
}

const char *SymbolOf(ResultCode rc)
{
	return ResultRowOf(static_cast<int>(rc)).symbol;
}

std::string Result::Text() const
{
	std::string text = std::to_string(static_cast<int>(this->code)) + " " + SymbolOf(this->code) + ": " +
					   ResultRowOf(static_cast<int>(this->code)).text;
	if (!this->detail.empty()) {
		text += " (" + this->detail + ")";
	}
	return text;
}
