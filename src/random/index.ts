export type { RandomSource } from "./RandomSource.js";
export { SeededRandom } from "./SeededRandom.js";
export { SystemRandom } from "./SystemRandom.js";
