export { createEntrySettings } from "./createEntrySettings.js";
export { FLEET_OPERATOR } from "./FLEET_OPERATOR.js";
export { FleetAddresses } from "./FleetAddresses.js";
export type { FleetOptions } from "./FleetOptions.js";
export { FleetProcess } from "./FleetProcess.js";
export type { FleetProcessOptions } from "./FleetProcessOptions.js";
export { ProcessFleet } from "./ProcessFleet.js";
export type { UpstreamDefaults } from "./UpstreamDefaults.js";
