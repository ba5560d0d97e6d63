export type { HostList } from "./HostList.js";
export { HttpHostList } from "./HttpHostList.js";
export type { HttpHostListOptions } from "./HttpHostListOptions.js";
export type { ListedHost } from "./ListedHost.js";
