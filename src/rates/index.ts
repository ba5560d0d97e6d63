export type { RateDecision } from "./RateDecision.js";
export type { RateLimiter } from "./RateLimiter.js";
