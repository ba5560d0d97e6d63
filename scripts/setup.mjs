// Installs the locked packages if they are not installed yet for this machine. Plain JavaScript, since it runs before anything is built.
import { execSync } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { createSetupStamp } from "./createSetupStamp.mjs";

const stamp = createSetupStamp(readFileSync("package-lock.json"), process);
const stampFile = "node_modules/.setup-stamp";
const isInstalled = existsSync(stampFile) && readFileSync(stampFile, "utf8") === stamp;
if (!isInstalled) {
    execSync("npm ci --silent --no-audit --no-fund", { stdio: "inherit" });
    writeFileSync(stampFile, stamp);
}
