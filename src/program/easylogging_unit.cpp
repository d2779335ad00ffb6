/** @file easylogging_unit.cpp Compiles the source that easylogging++ ships with its header. */
#include <easylogging++.cc>
