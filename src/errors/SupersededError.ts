import { FuchsiapathError } from "./FuchsiapathError.js";

/** Another attempt of the same request has answered, so that the answer of this one is no longer needed. */
export class SupersededError extends FuchsiapathError {}
