import type { Service } from "../Service.js";

/** A service without its upstreams, which are items of their own. */
export type ServiceSettings = Omit<Service, "upstreams">;
