/** @file job_id.h Id of a job, held without memory of its own. */
#ifndef JOB_ID_H
#define JOB_ID_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/**
 * Id of a job as its caller wrote it, up to 16 characters; what is longer names no job and reads as empty. An owner
 * compares and copies ids for each run of each box, which as text takes memory and time each time.
 */
class JobId {
public:
	static constexpr size_t LENGTH_MAX = 16; ///< Characters of an id.

	constexpr JobId() = default;
	/** @param text The id. */
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

	/** @return Whether it names no job. */
	[[nodiscard]] constexpr bool Empty() const { return this->head == 0; }
	/** @return Hash of the id. */
	[[nodiscard]] size_t Hash() const;

	/** Orders ids as their texts are ordered. */
	constexpr auto operator<=>(const JobId &) const = default;

private:
	static constexpr size_t HALF = 8;          ///< Characters in each half.
	static constexpr unsigned BYTE_BITS = 8;   ///< Bits of a character.
	static constexpr uint64_t BYTE_MASK = 255; ///< A character.

	uint64_t head = 0; ///< The first eight characters, the first one highest.
	uint64_t tail = 0; ///< The rest.

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

/** Hash of ids, for unordered maps. */
struct JobIdHash {
	size_t operator()(const JobId &id) const { return id.Hash(); }
};

#endif /* JOB_ID_H */
