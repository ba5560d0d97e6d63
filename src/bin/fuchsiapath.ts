#!/usr/bin/env node
import { runCommandLine } from "../operators/index.js";

/* The operators' program. */
process.exitCode = await runCommandLine(process.argv.slice(2), process.env, {
    write: text => console.log(text),
    report: text => console.error(text),
});
