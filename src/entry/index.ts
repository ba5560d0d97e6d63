export { EntryHost } from "./EntryHost.js";
export type { EntryHostOptions } from "./EntryHostOptions.js";
export { EntryProcess } from "./EntryProcess.js";
export { HostState } from "./HostState.js";
export type { HostStatus } from "./HostStatus.js";
