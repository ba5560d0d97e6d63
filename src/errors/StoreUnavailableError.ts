import { FuchsiapathError } from "./FuchsiapathError.js";

/** The platform's store did not answer; a write may still have taken effect. */
export class StoreUnavailableError extends FuchsiapathError {}
