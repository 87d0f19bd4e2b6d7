// Defines the storage that easylogging++ requires exactly once per program.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
