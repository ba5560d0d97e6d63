export { HostListServer } from "./HostListServer.js";
export { LaggingHostList } from "./LaggingHostList.js";
export { StoreServer } from "./StoreServer.js";
