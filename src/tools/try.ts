import { readFileSync } from "node:fs";
import { join } from "node:path";
import { FLEET_OPERATOR, ProcessFleet } from "../fleet/index.js";
import { Policy } from "../settings/index.js";
import { ServiceTimeKind } from "../standins/index.js";
import { SystemClock } from "../time/index.js";

/*
 * Starts stand-ins and entry hosts as separate processes, applies the Kelom example, runs an experiment with one gray
 * upstream and one withdrawn key, prints the result and stops all that it started.
 */
const EXAMPLE = "examples/kelom";
const EXPERIMENT = "examples/kelom/experiment.json";
const HOSTS_PER_ZONE = 2;
const BASE_PORT = 26_000;
const LOOKUP_LIFETIME_MS = 2000;
const SERVICE_TIME_MS = 20;
const LARGE_BYTES = 1_048_576;
/** New account hosts admit nothing until shares of an earlier view have lapsed, then fill their buckets. */
const HOLD_OFF_MS = 8000;

const fleet = new ProcessFleet({
    example: EXAMPLE,
    hostsPerZone: HOSTS_PER_ZONE,
    basePort: BASE_PORT,
    policy: Policy.Standard,
    upstreams: { serviceTime: { kind: ServiceTimeKind.Exponential, ms: SERVICE_TIME_MS }, largeBytes: LARGE_BYTES },
    lookupLifetimeMs: LOOKUP_LIFETIME_MS,
});
try {
    console.log("Starting the stand-ins and the entry hosts…");
    await fleet.start();
    console.log(`${fleet.getHostCount()} entry hosts serve. Applying ${EXAMPLE}/configuration.json…`);
    await fleet.applyDocument();
    console.log("Waiting for the hold-off of new account hosts to end…");
    await new SystemClock().wait(HOLD_OFF_MS);
    process.exitCode = await runExperiment();
}
catch (error) {
    console.error((error as Error).message);
    console.error(readFileSync(fleet.getLogFile(), "utf8").split("\n").slice(-30).join("\n"));
    process.exitCode = 1;
}
finally {
    await fleet.stop();
    console.log("All processes have been stopped.");
}

async function runExperiment(): Promise<number> {
    const { exitCode, output } = await fleet.run("fuchsiapath-load.js", [
        "--quiet",
        ...["--experiment", writeExperiment()],
        ...["--keys", join(EXAMPLE, "keys.json")],
        ...fleet.getEntryUrls().flatMap(url => ["--entry", url]),
        ...fleet.getRecordUrls().flatMap(url => ["--records", url]),
        ...Object.entries(fleet.getTargets()).flatMap(([name, url]) => ["--target", `${name}=${url}`]),
    ]);
    console.log(output);
    return exitCode ?? 1;
}

function writeExperiment(): string {
    const text = readFileSync(EXPERIMENT, "utf8").replaceAll("OPERATOR_TOKEN", FLEET_OPERATOR.token);
    return fleet.writeFile("experiment.json", JSON.parse(text));
}
