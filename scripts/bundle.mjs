// Makes the gateway one file below target/, so that a process starts quickly. Plain JavaScript, since it runs before anything is built.
import { resolve } from "node:path";
import { build } from "esbuild";

/** Packages that bunyan loads only if they are installed. */
const OPTIONAL_PACKAGES = ["dtrace-provider", "mv", "safe-json-stringify", "moment", "source-map-support"];

await build({
    entryPoints: ["platform/bin/fuchsiapath-edge.ts"],
    outfile: "target/fuchsiapath-edge.mjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minify: true,
    keepNames: true,
    logLevel: "warning",
    external: OPTIONAL_PACKAGES,
    plugins: [{
        name: "undici-client",
        setup: setup => setup.onResolve({ filter: /^undici$/ }, () => ({ path: resolve("scripts/undiciClient.cjs") })),
    }],
    banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" },
});
