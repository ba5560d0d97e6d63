import { FuchsiapathError } from "./FuchsiapathError.js";

/** The platform's store gave no answer; a write may have taken effect. */
export class StoreUnavailableError extends FuchsiapathError {}
