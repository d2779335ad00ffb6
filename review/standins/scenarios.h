/** @file scenarios.h The plays of the review. */
#ifndef REVIEW_SCENARIOS_H
#define REVIEW_SCENARIOS_H

#include "world.h"

/** Plays a scenario by its name. @return Whether there is one of this name. */
bool Play(World &world, const std::string &name);

#endif /* REVIEW_SCENARIOS_H */
