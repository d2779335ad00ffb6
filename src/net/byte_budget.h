/** @file byte_budget.h Bounds the bytes that a process holds for others at a time: request bodies, or frames received
 * in part. */
#ifndef BYTE_BUDGET_H
#define BYTE_BUDGET_H

#include <cstddef>
#include <memory>

/** What is no larger has a part of the budget of its own, so that large bodies can't keep small ones out. */
inline constexpr size_t SMALL_BODY_BYTES = 16 * 1024;

/** Bytes that a process may hold. Used on one thread. */
class ByteBudget {
public:
	/** @param bytes_max Maximum of all shares; a quarter of it is for small ones. */
	explicit ByteBudget(size_t bytes_max);

	/** Reserves bytes. @param bytes Size of the body or frame. @return Whether they were free. */
	bool Take(size_t bytes);
	/** Gives bytes back. @param bytes As passed to Take(). */
	void Give(size_t bytes);
	/** @return Bytes that are reserved. */
	[[nodiscard]] size_t Used() const { return this->small_used + this->large_used; }

private:
	size_t small_max;      ///< Maximum of all small bodies.
	size_t large_max;      ///< Maximum of all other bodies.
	size_t small_used = 0; ///< Bytes reserved for small bodies.
	size_t large_used = 0; ///< Bytes reserved for other bodies.
};

/** The part of the budget that one body or frame has; given back at the end of its last reference. */
class ByteShare {
public:
	/** @param budget The budget. */
	explicit ByteShare(std::shared_ptr<ByteBudget> budget) : budget(std::move(budget)) {}
	~ByteShare() { this->budget->Give(this->bytes); }
	ByteShare(const ByteShare &) = delete;
	ByteShare &operator=(const ByteShare &) = delete;

	/** Raises the share. @param wanted Bytes that are needed. @return Whether they were free. */
	bool Cover(size_t wanted);

private:
	std::shared_ptr<ByteBudget> budget; ///< The budget.
	size_t bytes = 0;                   ///< Bytes reserved.
};

#endif /* BYTE_BUDGET_H */
