export { HostRegistrar } from "./HostRegistrar.js";
export type { HostRegistrarOptions } from "./HostRegistrarOptions.js";
export type { HostRegistry } from "./HostRegistry.js";
