import { StoreUnavailableError } from "./StoreUnavailableError.js";

/** The platform's store refused a call beyond its rate; the call took no effect. */
export class StoreLimitError extends StoreUnavailableError {}
