/** @file easylogging_unit.cpp Translation unit for the source file of easylogging++. */
#include <easylogging++.cc>
