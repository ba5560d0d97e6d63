/** Resolution of the ages in gossip answers, in milliseconds. */
export const AGE_STEP_MS = 16;
