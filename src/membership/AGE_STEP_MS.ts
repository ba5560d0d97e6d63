/** The step in which ages are sent, in milliseconds. */
export const AGE_STEP_MS = 16;
