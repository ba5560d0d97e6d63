/**
 * A fault at one call of a store: "answer-lost": the call takes effect but its answer is lost, later calls work;
 * "away": neither this call nor later ones take effect; "crash": the call takes effect and the calling host crashes;
 * "rival": another change takes effect before the call; "late-answer": the call takes effect, then another change,
 * and the answer to the call is lost.
 */
export type InjectedStoreFault = "answer-lost" | "away" | "crash" | "rival" | "late-answer";
