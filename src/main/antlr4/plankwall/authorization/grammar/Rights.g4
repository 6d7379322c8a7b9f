/**
 * Who there is and who may do what. Read as: nothing is allowed that no rule allows, and a deny always wins.
 * Loops rather than left recursion, so that a long condition makes a wide tree and not a deep one.
 */
grammar Rights;

document : statement* EOF ;

statement
    : principal
    | group
    | role
    | grant
    | rule_
    | door
    ;

principal : kind=('person' | 'service' | 'node') name '{' principalItem* '}' ;

principalItem
    : 'key' name STRING ('from' since=STRING)? ('until' until=STRING)? ';'
    | 'network' STRING (',' STRING)* ';'
    | 'disabled' ';'
    ;

group : 'group' name '{' (name (',' name)*)? ';'? '}' ;

role : 'role' name '{' permission* '}' ;

permission : effect actions where? revoke? ';' ;

grant : 'grant' name (',' name)* 'to' subject (',' subject)* ';' ;

rule_ : 'rule' name ':' effect actions 'to' subject (',' subject)* where? revoke? ';' ;

door : which=('workers' | 'peers') 'network' STRING (',' STRING)* ';' ;

effect : ALLOW='allow' | DENY='deny' ;

actions : 'anything' | name (',' name)* ;

subject : 'everyone' | 'group' name | name ;

where : 'where' condition ;

condition : conjunction ('or' conjunction)* ;

conjunction : term ('and' term)* ;

term
    : 'not' term
    | '(' condition ')'
    | name 'is' self='self'
    | name 'is' NOT='not'? name
    | name 'in' '(' name (',' name)* ')'
    | name 'at' bound=('least' | 'most') name
    ;

revoke : 'on' 'revoke' what=('finish' | 'withdraw') ;

/** Words of the language that may be names all the same, where no other word could stand. */
name
    : WORD | STRING
    | 'person' | 'service' | 'node' | 'key' | 'from' | 'until' | 'network' | 'disabled' | 'workers' | 'peers'
    | 'least' | 'most' | 'revoke' | 'finish' | 'withdraw'
    ;

WORD : [A-Za-z] [A-Za-z0-9_.@/-]* ;
STRING : '"' ~["\r\n]* '"' ;
COMMENT : '#' ~[\r\n]* -> skip ;
SPACE : [ \t\r\n\uFEFF]+ -> skip ;
