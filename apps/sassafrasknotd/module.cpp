#include "sassafrasknot/state/time.hpp"
