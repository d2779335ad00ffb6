/** @file body_budget.h Bounds the bytes of request bodies that a process holds at a time. */
#ifndef BODY_BUDGET_H
#define BODY_BUDGET_H

#include <cstddef>
#include <memory>

/** Bodies up to this size have a part of the budget of their own, so that large ones can't keep them out. */
inline constexpr size_t SMALL_BODY_BYTES = 16 * 1024;

/** Bytes of request bodies that a process may hold. Used on one thread. */
class BodyBudget {
public:
	/** @param bytes_max Maximum of all bodies; a quarter of it is for small ones. */
	explicit BodyBudget(size_t bytes_max);

	/** Reserves bytes for a body. @param bytes Size of the body. @return Whether they were free. */
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

/** The part of the budget that one body has; given back at the end of its last reference. */
class BodyShare {
public:
	/** @param budget The budget. */
	explicit BodyShare(std::shared_ptr<BodyBudget> budget) : budget(std::move(budget)) {}
	~BodyShare() { this->budget->Give(this->bytes); }
	BodyShare(const BodyShare &) = delete;
	BodyShare &operator=(const BodyShare &) = delete;

	/** Raises the share. @param wanted Bytes that the body needs. @return Whether it has them. */
	bool Cover(size_t wanted);

private:
	std::shared_ptr<BodyBudget> budget; ///< The budget.
	size_t bytes = 0;                   ///< Bytes reserved.
};

#endif /* BODY_BUDGET_H */
