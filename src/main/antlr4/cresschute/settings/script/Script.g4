// The language of settings scripts, a subset of Starlark. ScriptTokens drops NEWLINE tokens and adds INDENT and DEDENT.
// Rules use repetition rather than recursion where possible, so that a long chain of operators makes a wide tree and not a deep one.
grammar Script;

options { superClass = DepthBoundParser; }

tokens { INDENT, DEDENT }

file : statement* EOF ;

statement : simpleLine | ifStatement | forStatement | defStatement ;

simpleLine : smallStatement (';' smallStatement)* ';'? NEWLINE ;

smallStatement
    : PASS
    | BREAK
    | CONTINUE
    | RETURN expressionList?
    | assignment
    ;

assignment : expressionList (op=('=' | '+=' | '-=' | '*=') expressionList)? ;

ifStatement : IF test ':' suite (ELIF test ':' suite)* (ELSE ':' suite)? ;

forStatement : FOR targets IN test ':' suite ;

defStatement : DEF NAME '(' parameters? ')' ':' suite ;

parameters : parameter (',' parameter)* ','? ;

parameter : NAME ('=' test)? ;

suite : simpleLine | NEWLINE INDENT statement+ DEDENT ;

targets : NAME (',' NAME)* ','? ;

expressionList : test (',' test)* ','? ;

test : orTest (IF orTest ELSE test)? ;

orTest : andTest (OR andTest)* ;

andTest : notTest (AND notTest)* ;

notTest : NOT notTest | comparison ;

comparison : sum (comparator sum)? ;

comparator : '==' | '!=' | '<' | '<=' | '>' | '>=' | IN | NOT IN ;

sum : product (('+' | '-') product)* ;

product : unary (('*' | '/' | '//' | '%') unary)* ;

unary : ('-' | '+') unary | primary ;

primary : atom suffix* ;

suffix
    : '.' NAME                                          # member
    | '(' (argument (',' argument)* ','?)? ')'          # call
    | '[' test ']'                                      # index
    | '[' low=test? ':' high=test? ']'                  # slice
    ;

argument : (NAME '=')? test ;

atom
    : NAME                                              # name
    | INT                                               # integer
    | FLOAT                                             # real
    | STRING+                                           # text
    | TRUE                                              # yes
    | FALSE                                             # no
    | NONE                                              # nothing
    | '(' expressionList? ')'                           # group
    | '[' (test (comprehension | (',' test)* ','?))? ']'    # listDisplay
    | '{' (entry (comprehension | (',' entry)* ','?))? '}'  # dictDisplay
    ;

entry : test ':' test ;

comprehension : (forClause | ifClause)+ ;

forClause : FOR targets IN orTest ;

ifClause : IF orTest ;

IF : 'if' ;
ELIF : 'elif' ;
ELSE : 'else' ;
FOR : 'for' ;
IN : 'in' ;
DEF : 'def' ;
RETURN : 'return' ;
PASS : 'pass' ;
BREAK : 'break' ;
CONTINUE : 'continue' ;
AND : 'and' ;
OR : 'or' ;
NOT : 'not' ;
TRUE : 'True' ;
FALSE : 'False' ;
NONE : 'None' ;

NAME : [A-Za-z_] [A-Za-z0-9_]* ;
FLOAT : [0-9]+ '.' [0-9]* EXPONENT? | '.' [0-9]+ EXPONENT? | [0-9]+ EXPONENT ;
INT : [0-9]+ ;
STRING : '"' (~["\\\r\n] | '\\' .)* '"' | '\'' (~['\\\r\n] | '\\' .)* '\'' ;

fragment EXPONENT : [eE] [+-]? [0-9]+ ;

NEWLINE : '\r'? '\n' ;
COMMENT : '#' ~[\r\n]* -> skip ;
JOINED : '\\' '\r'? '\n' -> skip ;
SPACE : ' '+ -> skip ;
UNKNOWN : . ;
