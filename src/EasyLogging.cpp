/** Compiles the logging library, which Debian ships as one source file among
 * its headers. */
#include <easylogging++.cc>
