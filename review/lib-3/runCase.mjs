import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Rig } from "./Rig.mjs";

/** Longest time of a case, in milliseconds. */
const LIMIT_MS = 110_000;

/**
 * Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 * @param {string} moduleUrl - The case's `import.meta.url`; its record is written beside it.
 * @param {(rig: Rig, hasTrouble: boolean) => Promise<string[]>} run - Returns the breaks of the rule, one line each.
 * @param {(breaks: string[]) => boolean} isBroken - Whether that many breaks break the rule.
 */
export async function runCase(moduleUrl, run, isBroken = breaks => breaks.length > 0) {
    process.chdir(join(dirname(fileURLToPath(moduleUrl)), "..", ".."));
    const rig = new Rig(join(dirname(fileURLToPath(moduleUrl)), "record.txt"));
    const hasTrouble = process.env.TROUBLE !== "0";
    let code = 2;
    const timer = setTimeout(() => {
        rig.note("the case took too long");
        process.exit(2);
    }, LIMIT_MS);
    try {
        rig.note(`TROUBLE=${hasTrouble ? 1 : 0}`);
        const breaks = await run(rig, hasTrouble);
        breaks.forEach(line => rig.note(`BREAK ${line}`));
        code = isBroken(breaks) ? 1 : 0;
        rig.note(`${breaks.length} breaks: the rule ${code === 1 ? "was broken" : "held"}`);
        console.log(`${breaks.length} breaks: the rule ${code === 1 ? "was broken" : "held"}`);
    }
    catch (error) {
        rig.note(`could not run: ${error.stack}`);
        console.log(`could not run: ${error.message}`);
    }
    finally {
        await rig.stop();
        clearTimeout(timer);
    }
    process.exit(code);
}
