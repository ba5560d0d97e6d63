#!/usr/bin/env node
import { runCommandLine } from "../operators/index.js";

/* The operators' command line. */
process.exitCode = await runCommandLine(process.argv.slice(2), process.env, {
    write: text => console.log(text),
    writeError: text => console.error(text),
});
