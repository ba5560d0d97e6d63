export { decodeJson } from "./decodeJson.js";
export { encodeJson } from "./encodeJson.js";
export { isSameText } from "./isSameText.js";
export { parseAddress } from "./parseAddress.js";
export { parseValue } from "./parseValue.js";
export { readBody } from "./readBody.js";
export { readJsonFile } from "./readJsonFile.js";
export type { SocketAddress } from "./SocketAddress.js";
