#include "support/ManualClock.h"
