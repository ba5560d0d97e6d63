/**
 * Fraction of its even share of an account's rate that a host which reaches no owner may spend. Below 1, as the owners find out only
 * after seconds which hosts are cut off, and grant the whole rate to the others until then.
 */
export const FALLBACK_FRACTION = 0.5;
