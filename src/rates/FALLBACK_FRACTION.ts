/**
 * Fraction of its even share of an account's rate that a host which reaches no owner may spend. Below 1, as these tokens come on top of
 * those that the owners grant to the hosts that reach them.
 */
export const FALLBACK_FRACTION = 0.5;
