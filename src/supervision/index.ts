export type { Child } from "./Child.js";
export { SupervisedTask } from "./SupervisedTask.js";
export type { SupervisedTaskOptions } from "./SupervisedTaskOptions.js";
export { Supervisor } from "./Supervisor.js";
