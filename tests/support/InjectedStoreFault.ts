/**
 * "answer-lost": the call takes effect without an answer, later ones work; "away": neither this call nor later ones
 * take effect; "crash": the call takes effect and the host crashes; "rival": the call is delayed while another
 * change takes effect; "late-answer": another change takes effect between the call and its lost answer.
 */
export type InjectedStoreFault = "answer-lost" | "away" | "crash" | "rival" | "late-answer";
