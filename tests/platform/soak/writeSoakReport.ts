import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { SoakResult } from "./SoakResult.js";

const MAX_REQUESTS = 5;
const MAX_LINES_PER_HOST = 12;

/**
 * Writes plan, logs, records and a report of a run into a folder and returns the folder's path.
 * @param parent - The folder above.
 * @param result - The run.
 */
export function writeSoakReport(parent: string, result: SoakResult): string {
    const { plan, calls, runs, logs } = result;
    const folder = join(parent, `seed-${plan.seed}`);
    mkdirSync(folder, { recursive: true });
    writeFileSync(join(folder, "plan.json"), JSON.stringify(plan, undefined, 4));
    writeFileSync(join(folder, "calls.json"), formatLines([...calls.values()]));
    writeFileSync(join(folder, "runs.json"), formatLines(runs));
    logs.forEach((log, host) => writeFileSync(join(folder, `${host}.log`), log));
    writeFileSync(join(folder, "report.md"), formatReport(folder, result));
    return folder;
}

function formatLines(values: readonly unknown[]): string {
    return values.map(value => `${JSON.stringify(value)}\n`).join("");
}

function formatReport(folder: string, { plan, findings, calls, runs, logs, longestDelayMs }: SoakResult): string {
    const lines = [
        `# Soak, seed ${plan.seed}, ${plan.hosts} hosts`,
        "",
        `Again: npm run soak -- --profile ${plan.profile} --seed ${plan.seed} --hosts ${plan.hosts} --steps ${plan.steps}`,
        `The soak's own event loop was late by ${longestDelayMs} ms at most.`,
        "",
        "## Faults",
        "",
        ...plan.faults.map(fault => `- ${JSON.stringify(fault)}`),
    ];
    for (const { promise, detail, requests } of findings) {
        lines.push("", `## ${promise}: ${detail}`, "", `${requests.length} requests`);
        for (const id of requests.slice(0, MAX_REQUESTS)) {
            lines.push("", `### ${id}`, "", `caller: ${JSON.stringify(calls.get(id))}`);
            lines.push(...runs.filter(run => run.id === id).map(run => `upstream: ${JSON.stringify(run)}`));
            for (const [host, log] of logs) {
                const found = log.split("\n").filter(line => line.includes(`"${id}"`) || line.includes(`"${id}.`));
                lines.push(...found.slice(0, MAX_LINES_PER_HOST).map(line => `${host}: ${line}`));
            }
            lines.push(`explained by: fuchsiapath explain ${id} ${folder}/*.log`);
        }
    }
    return `${lines.join("\n")}\n`;
}
