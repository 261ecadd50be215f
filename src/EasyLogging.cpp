/** Compiles the logging library, which Debian ships as a single source file
 * alongside its headers. */
#include <easylogging++.cc>
