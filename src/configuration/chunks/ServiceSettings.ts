import type { Service } from "../Service.js";

/** A service without its upstreams, which are stored as separate items. */
export type ServiceSettings = Omit<Service, "upstreams">;
