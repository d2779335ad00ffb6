/** @file error.cpp Texts of the numbered result codes. */
#include "error_type.h"

#include <algorithm>
#include <array>

namespace {

/** One row of the table of result codes. */
struct ResultRow {
	ResultCode code;    ///< The code.
	const char *symbol; ///< Its symbol.
	const char *text;   ///< What it means.
	int http;           ///< HTTP status towards callers, 0 for none.
};

constexpr std::array _rows = {
#define X(symbol, number, text, http) ResultRow{ResultCode::RC_##symbol, #symbol, text, http},
		GLADE_RESULT_TABLE(X)
#undef X
};

/**
 * Finds the row of a code.
 * @param code The number.
 * @return The row; that of RC_MALFORMED when there is none, so that a peer's newer code is still an error.
 */
const ResultRow &RowOf(int code)
{
	const auto it = std::ranges::find(_rows, static_cast<ResultCode>(code), &ResultRow::code);
	if (it != _rows.end()) {
		return *it;
	}
	return *std::ranges::find(_rows, ResultCode::RC_MALFORMED, &ResultRow::code);
}

/** The category behind make_error_code(). */
class GladeCategory : public std::error_category {
public:
	[[nodiscard]] const char *name() const noexcept override { return "glademount"; }
	[[nodiscard]] std::string message(int code) const override { return RowOf(code).text; }
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
	return RowOf(static_cast<int>(rc)).http;
}

const char *SymbolOf(ResultCode rc)
{
	return RowOf(static_cast<int>(rc)).symbol;
}

std::string Result::Text() const
{
	std::string text = std::to_string(static_cast<int>(this->code)) + " " + SymbolOf(this->code) + ": " +
					   RowOf(static_cast<int>(this->code)).text;
	if (!this->detail.empty()) {
		text += " (" + this->detail + ")";
	}
	return text;
}
