export type { HostList } from "./HostList.js";
export type { ListedHost } from "./ListedHost.js";
