import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { z } from "zod";
import { parseDocument } from "../configuration/index.js";
import { readJsonFile } from "../utils/index.js";
import type { Deployment } from "./Deployment.js";

const keyFileSchema = z.object({ keys: z.array(z.object({ account: z.string(), key: z.string() })) });

/**
 * Reads an example deployment.
 * @param name - Name of its folder in examples.
 */
export async function readDeployment(name: string): Promise<Deployment> {
    const folder = join("examples", name);
    const document = parseDocument(await readFile(join(folder, "configuration.json"), "utf8"));
    const { keys } = await readJsonFile(join(folder, "keys.json"), keyFileSchema);
    return { name, folder, document, keys: Object.fromEntries(keys.map(entry => [entry.account, entry.key])) };
}
