/** Exit codes of savoryknotd. */

export const EXIT_DONE = 0
export const EXIT_FAILED = 1
/** The settings or the command line arguments are invalid. */
export const EXIT_INVALID = 2
