export { FakeClock } from "./FakeClock.js";
export type { FakeHost } from "./FakeHost.js";
export { FakeNetwork } from "./FakeNetwork.js";
export { FakeStore } from "./FakeStore.js";
export type { FakeStoreFaults } from "./FakeStoreFaults.js";
export { waitForTasks } from "./waitForTasks.js";
