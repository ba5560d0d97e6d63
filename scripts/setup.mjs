// Installs the locked packages if they are not installed yet. Plain JavaScript, since it runs before anything is built.
import { execSync } from "node:child_process";
import { createHash } from "node:crypto";
import { existsSync, readFileSync, writeFileSync } from "node:fs";

const lockHash = createHash("sha256").update(readFileSync("package-lock.json")).digest("hex");
const stampFile = "node_modules/.setup-hash";
const isInstalled = existsSync(stampFile) && readFileSync(stampFile, "utf8") === lockHash;
if (!isInstalled) {
    execSync("npm ci --no-audit --no-fund", { stdio: "inherit" });
    writeFileSync(stampFile, lockHash);
}
