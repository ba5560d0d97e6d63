export type { Head } from "./Head.js";
export type { HeadChange } from "./HeadChange.js";
export type { HeadInstaller } from "./HeadInstaller.js";
export type { HeadRecord } from "./HeadRecord.js";
export type { HeadStore } from "./HeadStore.js";
export type { SectionReference } from "./SectionReference.js";
