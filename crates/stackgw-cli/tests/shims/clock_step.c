/* Preloaded into a gateway by tests: steps the wall clock of that process alone by the number of seconds in the file that
 * CLOCK_STEP_FILE names, read anew each time. The monotonic clock runs on. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

static long step_seconds(void) {
    const char *path = getenv("CLOCK_STEP_FILE");
    FILE *file = path ? fopen(path, "r") : NULL;
    long seconds = 0;
    if (!file) return 0;
    if (fscanf(file, "%ld", &seconds) != 1) seconds = 0;
    fclose(file);
    return seconds;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    static int (*real)(clockid_t, struct timespec *);
    if (!real) real = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    int result = real(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME) now->tv_sec += step_seconds();
    return result;
}
