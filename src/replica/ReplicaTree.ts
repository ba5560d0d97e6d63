import type { Member } from "../head/index.js";

/** Number of children of a host in the tree; more hosts can pull from it while others are silent. */
const FAN_OUT = 6;
/** How many siblings of its parent a host tries before the hosts further up. */
const ALTERNATIVE_PARENTS = 2;

/** A host's position in the tree of its zone. */
interface TreePosition {
    /** Index of the availability zone. */
    readonly zone: number;
    /** Index in the ranking of the zone; 0 is the root. */
    readonly place: number;
}

/** Which host pulls from which: a tree in each availability zone, with the roots of the trees in a ring. */
export class ReplicaTree {
    readonly #zones: readonly (readonly Member[])[];
    readonly #self: Member;
    readonly #isSilent: (id: string) => boolean;
    readonly #positions = new Map<string, TreePosition>();

    /**
     * @param zones - The ranked hosts of each availability zone.
     * @param self - This host, which may not be among them yet.
     * @param isSilent - Whether a host is reported silent.
     */
    constructor(zones: readonly (readonly Member[])[], self: Member, isSilent: (id: string) => boolean) {
        this.#zones = zones;
        this.#self = self;
        this.#isSilent = isSilent;
        zones.forEach((members, zone) =>
            members.forEach((member, place) => this.#positions.set(member.id, { zone, place }))
        );
    }

    /** Gets all hosts but this one. */
    getOthers(): readonly Member[] {
        return this.#zones.flat().filter(member => member.id !== this.#self.id);
    }

    /** Whether this host is the first one in its zone's ranking that answers; true for every host while no host is known. */
    isFirstInZone(): boolean {
        if (this.#positions.size === 0) {
            return true;
        }
        const position = this.#positions.get(this.#self.id);
        return position !== undefined && this.#findFirst(position.zone)?.id === this.#self.id;
    }

    /** Gets this host's depth in the tree; the root has depth 0. */
    getDepth(): number {
        let depth = 0;
        for (let place = this.#getSelfPosition().place; place > 0; place = getParent(place)) {
            depth++;
        }
        return depth;
    }

    /** Gets the hosts that this one can pull from, the preferred one first, without silent ones. */
    getSources(): readonly Member[] {
        return this.#getSourcesOf(this.#getSelfPosition(), this.#self.id);
    }

    /** Gets the hosts that should pull from this one, including silent ones. */
    getChildren(): readonly Member[] {
        return this.getOthers().filter(member =>
            this.#getSourcesOf(this.#positions.get(member.id)!, member.id)[0]?.id === this.#self.id
        );
    }

    #getSourcesOf({ zone, place }: TreePosition, id: string): readonly Member[] {
        const sources = new Set<Member>();
        const add = (member: Member | undefined): void => {
            if (member !== undefined && member.id !== id && this.#isAnswering(member)) {
                sources.add(member);
            }
        };
        getSourcePlaces(place).forEach(above => add(this.#zones[zone]?.[above]));
        add(this.#findFirst(zone));
        const others = this.#zones.length - 1;
        for (let step = 0; step < others; step++) {
            // The ring of the roots has one direction; the other hosts spread over the other zones.
            const offset = place === 0 ? step : (place + step) % others;
            add(this.#findFirst((zone + 1 + offset) % this.#zones.length));
        }
        return [...sources];
    }

    #getSelfPosition(): TreePosition {
        const position = this.#positions.get(this.#self.id);
        if (position !== undefined) {
            return position;
        }
        const zone = Math.max(0, this.#zones.findIndex(members => members[0]?.zone === this.#self.zone));
        return { zone, place: this.#zones[zone]?.length ?? 0 };
    }

    #findFirst(zone: number): Member | undefined {
        return this.#zones[zone]?.find(member => this.#isAnswering(member));
    }

    #isAnswering(member: Member): boolean {
        return member.id === this.#self.id || !this.#isSilent(member.id);
    }
}

/** Gets the places in the ranking that a host can pull from, the preferred one first. */
function getSourcePlaces(place: number): readonly number[] {
    if (place === 0) {
        return [];
    }
    const parent = getParent(place);
    const places = [parent];
    if (parent > 0) {
        // The children of a silent host spread over its siblings.
        const first = getParent(parent) * FAN_OUT + 1;
        for (let step = 0; step < ALTERNATIVE_PARENTS; step++) {
            places.push(first + (parent - first + 1 + (place + step) % (FAN_OUT - 1)) % FAN_OUT);
        }
    }
    for (let above = parent; above > 0;) {
        above = getParent(above);
        places.push(above);
    }
    return places;
}

function getParent(place: number): number {
    return Math.floor((place - 1) / FAN_OUT);
}
