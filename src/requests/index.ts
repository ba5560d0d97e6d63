export type { AccountRunner } from "./AccountRunner.js";
export type { CallerRequest } from "./CallerRequest.js";
