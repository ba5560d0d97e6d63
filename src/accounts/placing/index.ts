export { PartSelector } from "./PartSelector.js";
export { RequestSlack } from "./RequestSlack.js";
