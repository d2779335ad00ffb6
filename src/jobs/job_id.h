/** @file job_id.h Id of a job, stored inline. */
#ifndef JOB_ID_H
#define JOB_ID_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/**
 * Id of a job as given by its caller, up to 16 characters; a longer text is no valid id and becomes the empty id.
 * Stored as two integers, since an owner copies and compares ids for each run of each box.
 */
class JobId {
public:
	static constexpr size_t LENGTH_MAX = 16; ///< Maximum number of characters.

	constexpr JobId() = default;
	/** @param text The id as text. */
	constexpr explicit JobId(std::string_view text)
	{
		if (text.size() <= LENGTH_MAX) {
			this->head = Packed(text.substr(0, HALF));
			this->tail = text.size() > HALF ? Packed(text.substr(HALF)) : 0;
		}
	}

	/** @return The id as text. */
	[[nodiscard]] std::string Value() const
	{
		std::string text;
		Unpack(text, this->head);
		Unpack(text, this->tail);
		return text;
	}

	/** @return Whether this is the empty id, which names no job. */
	[[nodiscard]] constexpr bool Empty() const { return this->head == 0; }
	/** @return Hash of the id. */
	[[nodiscard]] size_t Hash() const;

	/** Same order as that of the texts. */
	constexpr auto operator<=>(const JobId &) const = default;

private:
	static constexpr size_t HALF = 8;          ///< Characters in each integer.
	static constexpr unsigned BYTE_BITS = 8;   ///< Bits per character.
	static constexpr uint64_t BYTE_MASK = 255; ///< Mask of one character.

	uint64_t head = 0; ///< First eight characters, the first one in the highest byte.
	uint64_t tail = 0; ///< Remaining characters.

	static constexpr uint64_t Packed(std::string_view text)
	{
		uint64_t out = 0;
		for (size_t n = 0; n < HALF; n++) {
			out = out << BYTE_BITS | (n < text.size() ? static_cast<unsigned char>(text[n]) : 0U);
		}
		return out;
	}

	static void Unpack(std::string &text, uint64_t half)
	{
		for (unsigned shift = HALF * BYTE_BITS; shift > 0; shift -= BYTE_BITS) {
			if (const uint64_t byte = half >> (shift - BYTE_BITS) & BYTE_MASK; byte != 0) {
				text += static_cast<char>(byte);
			}
		}
	}
};

/** Hash function of ids, for unordered maps. */
struct JobIdHash {
	size_t operator()(const JobId &id) const { return id.Hash(); }
};

#endif /* JOB_ID_H */
