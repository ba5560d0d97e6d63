import type { Head } from "../head/index.js";
import { getHeadMembers } from "./getHeadMembers.js";
import type { MemberLayout } from "./MemberLayout.js";

const KEPT_LAYOUTS = 16;
const EMPTY_LAYOUT: MemberLayout = { key: "", memberIds: [] };

/** Keeps the newest orders of members, so that answers of hosts with an older or a newer view can be read. */
export class LayoutHistory {
    readonly #layouts: MemberLayout[] = [];

    /**
     * Adds the order of a head's members.
     * @param head - The head.
     */
    add(head: Head): void {
        const key = `${head.view.version}.${head.nextView?.version ?? 0}`;
        if (this.getNewest().key !== key) {
            this.#layouts.push({ key, memberIds: getHeadMembers(head).map(member => member.id).sort() });
            this.#layouts.splice(0, this.#layouts.length - KEPT_LAYOUTS);
        }
    }

    /** Gets the newest order. */
    getNewest(): MemberLayout {
        return this.#layouts.at(-1) ?? EMPTY_LAYOUT;
    }

    /**
     * Finds the member ids of an order.
     * @param key - Names the order.
     */
    findMemberIds(key: string): readonly string[] | undefined {
        return this.#layouts.find(layout => layout.key === key)?.memberIds;
    }
}
