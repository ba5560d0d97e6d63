import type { ExperimentAccount } from "./ExperimentAccount.js";

/** A part of an account's mix of requests. */
export type MixItem = ExperimentAccount["mix"][number];
