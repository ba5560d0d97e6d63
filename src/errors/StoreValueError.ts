import { FuchsiapathError } from "./FuchsiapathError.js";

/** A value exceeds the size limit of the platform's store; nothing was written. */
export class StoreValueError extends FuchsiapathError {}
