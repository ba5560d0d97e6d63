import { FuchsiapathError } from "./FuchsiapathError.js";

/** A value is larger than the platform's store takes; nothing was written. */
export class StoreValueError extends FuchsiapathError {}
